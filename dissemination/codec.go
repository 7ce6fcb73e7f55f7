package dissemination

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/fleet"
)

// MaxMessage is the maximum size of an encoded message in bytes. A message with
// the largest configuration part that the platform can hold fits into it.
const MaxMessage = 2 << 20

const (
	maxElements   = 1 << 16
	maxNesting    = 8
	maxFields     = 64
	maxIDLength   = 255 // bytes
	digestSize    = 32  // bytes
	maxZoneStates = 256
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxFields,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of a message.
func Encode(message Message) ([]byte, error) {
	data, err := encoder.Marshal(message)
	return data, errors.WithStack(err)
}

// Decode decodes and validates a message. Any error is a *MessageError.
func Decode(data []byte) (Message, error) {
	var message Message
	if len(data) > MaxMessage {
		return message, &MessageError{Cause: "size"}
	}
	if err := decoder.Unmarshal(data, &message); err != nil {
		return Message{}, &MessageError{Cause: "encoding", Err: err}
	}
	if cause := message.invalidCause(); cause != "" {
		return Message{}, &MessageError{Cause: cause}
	}
	return message, nil
}

// invalidCause returns a short name of what is invalid in the message, or ""
// if it is valid.
func (m Message) invalidCause() string {
	kinds := 0
	for _, set := range []bool{m.Hello != nil, m.State != nil, m.Request != nil, m.Response != nil, m.Presence != nil} {
		if set {
			kinds++
		}
	}
	switch {
	case kinds != 1:
		return "kind"
	case m.Hello != nil:
		return m.Hello.invalidCause()
	case m.State != nil:
		return m.State.invalidCause()
	case m.Request != nil:
		return m.Request.invalidCause()
	case m.Presence != nil:
		return invalidPresenceCause(m.Presence)
	default:
		return m.Response.invalidCause()
	}
}

func (h *Hello) invalidCause() string {
	switch {
	case h.Protocol != Protocol:
		return "protocol"
	case h.ID == "" || len(h.ID) > maxIDLength:
		return "id"
	case !fleet.ValidName(h.Zone):
		return "zone"
	default:
		return ""
	}
}

func (s *State) invalidCause() string {
	if !validDigest(s.Digest) || (s.Revision == 0) != (len(s.Digest) == 0) {
		return "digest"
	}
	if len(s.Zones) > maxZoneStates {
		return "zone"
	}
	for _, zone := range s.Zones {
		if !fleet.ValidName(zone.Zone) {
			return "zone"
		}
	}
	return ""
}

func (r *Request) invalidCause() string {
	if !validDigest(r.Manifest) || !validDigest(r.Base) || !validDigests(r.Parts) {
		return "digest"
	}
	for _, list := range r.Lists {
		if !fleet.ValidName(list.Zone) {
			return "zone"
		}
	}
	return ""
}

func (r *Response) invalidCause() string {
	if !validDigests(r.Missing) || (r.Manifest != nil && !validDigest(r.Manifest.Base)) {
		return "digest"
	}
	for _, list := range r.Lists {
		if cause := list.invalidCause(); cause != "" {
			return cause
		}
	}
	return ""
}

func (l *ListUpdate) invalidCause() string {
	if !fleet.ValidName(l.Zone) {
		return "zone"
	}
	for _, vm := range l.Upserted {
		if vm.ID == "" || len(vm.ID) > maxIDLength || !vm.Addr.IsValid() || vm.Zone != l.Zone {
			return "vm"
		}
	}
	return ""
}

func validDigests(digests [][]byte) bool {
	for _, digest := range digests {
		if len(digest) != digestSize {
			return false
		}
	}
	return true
}

// validDigest reports whether a digest is absent or has the right size.
func validDigest(digest []byte) bool {
	return len(digest) == 0 || len(digest) == digestSize
}

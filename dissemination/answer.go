package dissemination

import (
	"encoding/hex"
)

func (r *Replica) wantReceived(l *link, want Want) {
	if len(want.Manifest) > 0 {
		value := r.values.tell(hex.EncodeToString(want.Manifest), hex.EncodeToString(want.Base))
		if value != nil {
			r.send(l, Message{Value: &Value{Manifest: value}})
		}
	}
	if len(want.Parts) > 0 {
		r.sendParts(l, want.Parts)
	}
	for _, ask := range want.Lists {
		if list, newer := r.tellList(ask); newer {
			r.send(l, Message{Value: &Value{Lists: []ListValue{list}}})
		}
	}
}

// sendParts sends parts in messages of a bounded size.
func (r *Replica) sendParts(l *link, digests [][]byte) {
	value := &Value{}
	size := 0
	for _, digest := range digests {
		data, held := r.values.parts[hex.EncodeToString(digest)]
		if !held {
			value.Missing = append(value.Missing, digest)
			continue
		}
		if size > 0 && size+len(data) > maxValueSize {
			r.send(l, Message{Value: value})
			value = &Value{}
			size = 0
		}
		value.Parts = append(value.Parts, data)
		size += len(data)
	}
	r.send(l, Message{Value: value})
}

// maxValueSize is the size in bytes up to which parts share a message.
const maxValueSize = 256 << 10

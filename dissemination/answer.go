package dissemination

import (
	"encoding/hex"
)

// requestReceived sends the manifest, parts and lists that the other side
// requested, as far as the node has them.
func (r *Replica) requestReceived(l *link, request Request) {
	if len(request.Manifest) > 0 {
		update := r.values.manifestUpdate(hex.EncodeToString(request.Manifest), hex.EncodeToString(request.Base))
		if update != nil {
			r.send(l, Message{Response: &Response{Manifest: update}})
		}
	}
	if len(request.Parts) > 0 {
		r.sendParts(l, request.Parts)
	}
	for _, listRequest := range request.Lists {
		if list, newer := r.listUpdate(listRequest); newer {
			r.send(l, Message{Response: &Response{Lists: []ListUpdate{list}}})
		}
	}
}

// sendParts sends the requested parts, in messages of a bounded size, and the
// digests of those that the node does not have.
func (r *Replica) sendParts(l *link, digests [][]byte) {
	response := &Response{}
	size := 0
	for _, digest := range digests {
		data, held := r.values.parts[hex.EncodeToString(digest)]
		if !held {
			response.Missing = append(response.Missing, digest)
			continue
		}
		if size > 0 && size+len(data) > maxValueSize {
			r.send(l, Message{Response: response})
			response = &Response{}
			size = 0
		}
		response.Parts = append(response.Parts, data)
		size += len(data)
	}
	r.send(l, Message{Response: response})
}

// maxValueSize is the total size in bytes up to which several parts are put
// into one message. A larger part is sent on its own.
const maxValueSize = 256 << 10

package dissemination

import (
	"encoding/hex"
)

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

// sendParts sends parts in messages of a bounded size.
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

// maxValueSize is the size in bytes up to which parts share a message.
const maxValueSize = 256 << 10

package keyring

import (
	"bytes"
	"os"
)

// Watcher keeps a ring equal to a key file, without a restart. A file that is
// not valid, or not a step that established flows survive, leaves the ring as
// it is.
type Watcher struct {
	path    string
	ring    *Ring
	changed func(from, to Keys)
	failed  func(error)
	content []byte
}

// NewWatcher returns a watcher of the file from which the ring was loaded. It
// calls changed after each change of the ring, and failed once for each
// content that it refuses.
func NewWatcher(path string, ring *Ring, changed func(from, to Keys), failed func(error)) *Watcher {
	return &Watcher{path: path, ring: ring, changed: changed, failed: failed}
}

// Check looks at the file once. It belongs to one goroutine.
func (w *Watcher) Check() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		content = []byte(err.Error())
	}
	if bytes.Equal(content, w.content) {
		return
	}
	w.content = content
	if err != nil {
		w.failed(&FileError{File: w.path, Reason: err.Error()})
		return
	}
	w.take(content)
}

func (w *Watcher) take(content []byte) {
	next, err := Parse(w.path, content)
	if err != nil {
		w.failed(err)
		return
	}
	current := *w.ring.Load()
	if current.Equal(next) {
		return
	}
	if err := current.CheckRotation(next); err != nil {
		w.failed(err)
		return
	}
	if err := w.ring.Store(next); err != nil {
		w.failed(err)
		return
	}
	w.changed(current, next)
}

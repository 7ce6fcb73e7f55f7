package keyring

import (
	"bytes"
	"os"
)

// Watcher reloads the keys of a ring when the key file changes. It rejects a
// file that is not valid or that CheckRotation does not allow, and then leaves
// the ring unchanged.
type Watcher struct {
	path        string
	ring        *Ring
	onChange    func(from, to Keys)
	onError     func(error)
	lastContent []byte
}

// NewWatcher returns a watcher of the file from which the ring was loaded. It
// calls onChange after each change of the ring, and onError once for each
// content that it rejects.
func NewWatcher(path string, ring *Ring, onChange func(from, to Keys), onError func(error)) *Watcher {
	return &Watcher{path: path, ring: ring, onChange: onChange, onError: onError}
}

// Check reads the file once and applies a change. It is not safe for concurrent
// use.
func (w *Watcher) Check() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		content = []byte(err.Error())
	}
	if bytes.Equal(content, w.lastContent) {
		return
	}
	w.lastContent = content
	if err != nil {
		w.onError(&FileError{File: w.path, Reason: err.Error()})
		return
	}
	w.apply(content)
}

func (w *Watcher) apply(content []byte) {
	next, err := Parse(w.path, content)
	if err != nil {
		w.onError(err)
		return
	}
	current := *w.ring.Load()
	if current.Equal(next) {
		return
	}
	if err := current.CheckRotation(next); err != nil {
		w.onError(err)
		return
	}
	if err := w.ring.Store(next); err != nil {
		w.onError(err)
		return
	}
	w.onChange(current, next)
}

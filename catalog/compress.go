package catalog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// minCompressedSize is the size in bytes from which on values are compressed for
// peers. Configurations are large, and every process receives each of them.
const minCompressedSize = 1024

// compressedData is the compressed data of a value as of its last change.
type compressedData struct {
	position Position
	data     []byte
}

// compress replaces the data of large values by their compressed form. Each change
// of a value is compressed once.
func (j *journal) compress(era int64, values []peerValue) {
	for i := range values {
		v := &values[i]
		if len(v.Data) < minCompressedSize {
			continue
		}
		v.Data, v.Compressed = j.compressedValue(v.Key, Position{Era: v.era(era), Revision: v.Revision}, v.Data), true
	}
}

func (j *journal) compressedValue(key string, position Position, data []byte) []byte {
	j.mu.Lock()
	cached, ok := j.compressed[key]
	j.mu.Unlock()
	if ok && cached.position == position {
		return cached.data
	}
	compressed := gzipData(data)
	j.mu.Lock()
	defer j.mu.Unlock()
	if current, ok := j.compressed[key]; !ok || current.position.Before(position) {
		j.compressed[key] = compressedData{position: position, data: compressed}
	}
	return compressed
}

func gzipData(data []byte) []byte {
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	_, _ = w.Write(data) // Writes to a bytes.Buffer do not fail.
	_ = w.Close()
	return buffer.Bytes()
}

// data returns the data of a received value. It returns an error if the compressed
// data is damaged or expands to more than limit bytes.
func (v *peerValue) data(limit int) ([]byte, error) {
	if !v.Compressed {
		return v.Data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(v.Data))
	if err != nil {
		return nil, errors.Wrapf(err, "value of %s", v.Key)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrapf(err, "value of %s", v.Key)
	}
	if len(data) > limit {
		return nil, errors.WithStack(&PeerAnswerError{Field: "value of " + v.Key, Problem: "expands to too many bytes"})
	}
	return data, nil
}

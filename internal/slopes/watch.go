package slopes

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/standin/store"
	"github.com/turmericrock/turmericrock/platform"
)

var watchSizes = []float64{10, 20, 40, 80}

// watchMeasurements returns the measurements of platform watches that end without
// a change.
func watchMeasurements() []Measurement {
	return []Measurement{
		{Name: "platform_watch_bytes", Unit: "B", Per: "watch", Sizes: watchSizes, Run: watchBytes},
	}
}

// watchBytes returns the number of bytes sent and received for the given number
// of watches of an unchanged value, without IP and TCP headers.
func watchBytes(reads float64) (float64, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	counter := &countingListener{Listener: listener}
	kvStore := store.New()
	version := uint64(kvStore.Put(platform.KeyManifest, make([]byte, 1<<10)))
	server := &http.Server{Handler: kvStore}
	go func() { _ = server.Serve(counter) }()
	defer func() { _ = server.Close() }()
	reader := platform.NewStoreReader("http://" + listener.Addr().String())
	if _, err := reader.Read(context.Background(), platform.KeyManifest); err != nil {
		return 0, err
	}
	before := counter.bytes.Load()
	for range int(reads) {
		if _, err := reader.Watch(context.Background(), platform.KeyManifest, version, 0); err != nil {
			return 0, err
		}
	}
	return float64(counter.bytes.Load() - before), nil
}

// countingListener counts the bytes read and written on accepted connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

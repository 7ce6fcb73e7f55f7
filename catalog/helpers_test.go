package catalog_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

func listen(ip string, port uint16) (net.Listener, error) {
	return net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
}

// freePort returns a port that is free at 127.0.9.1, the address of the first
// node.
func freePort(t *testing.T) uint16 {
	l, err := net.Listen("tcp4", "127.0.9.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	return uint16(l.Addr().(*net.TCPAddr).Port)
}

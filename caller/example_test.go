package caller_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/caller"
)

// A request that must not run twice is retried only if it was refused before it
// ran.
func Example() {
	config := caller.DefaultConfig()
	config.Addr = netip.MustParseAddrPort("127.0.0.1:9")
	config.ServerName = "ordering.quillhaven.test"
	config.TLS = &tls.Config{MinVersion: tls.VersionTLS13}
	client := caller.New(config)
	defer client.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, caller.Request{
		Method: http.MethodPost,
		Path:   "/orders",
		Body:   []byte("psalm 23"),
	})
	var notRun *caller.NotRunError
	var unknown *caller.OutcomeUnknownError
	switch {
	case errors.As(err, &notRun):
		fmt.Println("not run")
	case errors.As(err, &unknown):
		fmt.Println("outcome unknown")
	default:
		fmt.Println("answered")
	}
	// Output: not run
}

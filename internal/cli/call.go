package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/internal/signals"
)

const callHelp = `Sends a request to a service over HTTP/3 and prints the response's status on
standard error and its body on standard output. A request that is refused as not run
is retried within the retry budget and the deadline; nothing else is sent twice,
unless -idempotent allows it. A flow whose path no longer responds migrates to a new
local address.

Exit codes: 0: response with a status below 400. 2: invalid flags. 3: not run: no
backend server started to process the request. 4: outcome unknown: a backend server
may have processed it. 5: response with a status of 400 or more. With -repeat, the
most severe of all: 4 before 3 before 5.

Examples:
  turmericrock call -address 192.0.2.10:443 -name proofs.quillhaven.test -ca authority.crt /specimen/7
  turmericrock call -address 192.0.2.10:443 -name proofs.quillhaven.test -ca authority.crt \
    -method POST -header 'Content-Type: text/plain' -body 'psalm 23' -deadline 5s /orders
  turmericrock call -address 192.0.2.20:443 -name press.teifi.test -ca authority.crt -stream /feed`

type callCommand struct {
	address    string
	name       string
	authority  string
	method     string
	headers    headerFlag
	body       string
	bodyFile   string
	repeat     int
	stream     bool
	idempotent bool
	deadline   time.Duration
	out        io.Writer
	err        io.Writer
}

func newCallCommand(out, err io.Writer) *command {
	c := &callCommand{out: out, err: err, headers: headerFlag{}}
	return &command{
		name:     "call",
		synopsis: "send a request to a service over HTTP/3",
		usage:    "-address IP:PORT -name NAME -ca FILE [flags] PATH",
		help:     callHelp,
		err:      err,
		flags:    c.setFlags,
		run:      c.run,
	}
}

func (c *callCommand) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "", "`IP:port` of the service")
	f.StringVar(&c.name, "name", "", "`name` in the service's certificate")
	f.StringVar(&c.authority, "ca", "", "PEM `file` with the trusted certificate authorities; default: those of the system")
	f.StringVar(&c.method, "method", http.MethodGet, "HTTP `method`")
	f.Var(c.headers, "header", "`Name: value` of a header; may be repeated")
	f.StringVar(&c.body, "body", "", "`text` to send as the body")
	f.StringVar(&c.bodyFile, "body-file", "", "`file` to send as the body")
	f.IntVar(&c.repeat, "repeat", 1, "`number` of requests to send one after the other on the same flow")
	f.BoolVar(&c.stream, "stream", false, "print the body as it arrives")
	f.BoolVar(&c.idempotent, "idempotent", false, "allow retries after an unknown outcome")
	f.DurationVar(&c.deadline, "deadline", 30*time.Second, "`duration` that each request may take; 0 for no limit")
}

func (c *callCommand) run(ctx context.Context, args []string) error {
	config, err := c.config(args)
	if err != nil {
		return err
	}
	request, err := c.request(args[0])
	if err != nil {
		return err
	}
	ctx, stop := signals.Context(ctx)
	defer stop()
	client := caller.New(config)
	defer client.Close()
	var worst worstExit
	for range c.repeat {
		worst.record(c.send(ctx, client, request))
	}
	return worst.error()
}

func (c *callCommand) config(args []string) (caller.Config, error) {
	config := caller.DefaultConfig()
	if len(args) != 1 || !strings.HasPrefix(args[0], "/") {
		return config, &UsageError{Reason: "name one path that begins with a slash, after the flags"}
	}
	addr, err := netip.ParseAddrPort(c.address)
	if err != nil {
		return config, &UsageError{Reason: "flag -address = " + c.address + " is not valid; allowed is IP:port"}
	}
	if err := requireFlag("name", c.name); err != nil {
		return config, err
	}
	if c.repeat < 1 || c.deadline < 0 {
		return config, &UsageError{Reason: "allowed is a -repeat of 1 or more and a -deadline of 0 or more"}
	}
	roots, err := loadRoots(c.authority)
	if err != nil {
		return config, err
	}
	config.Addr = addr
	config.ServerName = c.name
	config.TLS = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	return config, nil
}

// loadRoots returns the certificate authorities in the file, or nil for those of the
// system if path is empty.
func loadRoots(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{Reason: "flag -ca: " + err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &UsageError{Reason: "flag -ca: " + path + " holds no PEM certificate"}
	}
	return pool, nil
}

func (c *callCommand) request(path string) (caller.Request, error) {
	request := caller.Request{
		Method:     c.method,
		Path:       path,
		Header:     http.Header(c.headers),
		Body:       []byte(c.body),
		Idempotent: c.idempotent,
	}
	if c.bodyFile == "" {
		return request, nil
	}
	body, err := os.ReadFile(c.bodyFile)
	if err != nil {
		return request, &UsageError{Reason: "flag -body-file: " + err.Error()}
	}
	request.Body = body
	return request, nil
}

func (c *callCommand) send(ctx context.Context, client *caller.Client, request caller.Request) subcommands.ExitStatus {
	if c.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.deadline)
		defer cancel()
	}
	response, err := c.exchange(ctx, client, request)
	if err != nil {
		_, _ = fmt.Fprintln(c.err, err)
		return callExitStatus(err)
	}
	_, _ = fmt.Fprintf(c.err, "%d %s attempts=%d\n", response.Status, http.StatusText(response.Status), response.Attempts)
	if !c.stream {
		_, _ = c.out.Write(response.Body)
	}
	if response.Status >= http.StatusBadRequest {
		return ExitHTTPStatus
	}
	return subcommands.ExitSuccess
}

func (c *callCommand) exchange(ctx context.Context, client *caller.Client, request caller.Request) (*caller.Response, error) {
	if !c.stream {
		return client.Do(ctx, request)
	}
	return client.Stream(ctx, request, func(piece []byte) { _, _ = c.out.Write(piece) })
}

func callExitStatus(err error) subcommands.ExitStatus {
	var notRun *caller.NotRunError
	if errors.As(err, &notRun) {
		return ExitNotRun
	}
	return ExitUnknown
}

// worstExit keeps the most severe of several exit codes.
type worstExit struct {
	status subcommands.ExitStatus
}

func (w *worstExit) record(status subcommands.ExitStatus) {
	if severity(status) > severity(w.status) {
		w.status = status
	}
}

func (w *worstExit) error() error {
	if w.status == subcommands.ExitSuccess {
		return nil
	}
	return &exitError{Status: w.status}
}

func severity(status subcommands.ExitStatus) int {
	switch status {
	case ExitUnknown:
		return 3
	case ExitNotRun:
		return 2
	case ExitHTTPStatus:
		return 1
	default:
		return 0
	}
}

// headerFlag is a repeatable flag that collects request headers.
type headerFlag http.Header

// String implements flag.Value.
func (headerFlag) String() string { return "" }

// Set implements flag.Value.
func (h headerFlag) Set(value string) error {
	name, content, found := strings.Cut(value, ":")
	if !found || strings.TrimSpace(name) == "" {
		return &UsageError{Reason: "allowed is Name: value"}
	}
	http.Header(h).Add(strings.TrimSpace(name), strings.TrimSpace(content))
	return nil
}

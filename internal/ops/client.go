package ops

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// ResponseError reports a response with a status other than 200.
type ResponseError struct {
	Path   string
	Status int
	Body   string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: %d %s: %s", e.Path, e.Status, http.StatusText(e.Status), e.Body)
}

const maxErrorBody = 1 << 10 // bytes

// Client queries the operators' endpoint of a process.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the endpoint at addr.
func NewClient(addr netip.AddrPort) *Client {
	return &Client{
		base:   "http://" + addr.String(),
		client: &http.Client{Timeout: writeTimeout},
	}
}

// Status returns the status of the process. The error is a *ResponseError if the
// process answers with a status other than 200.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	body, err := c.get(ctx, PathStatus, nil)
	if err != nil {
		return status, err
	}
	defer func() { _ = body.Close() }()
	return status, errors.WithStack(json.NewDecoder(body).Decode(&status))
}

// Audit copies the audit records that match what and since to w as JSON lines. The
// error is a *ResponseError if the process answers with a status other than 200.
func (c *Client) Audit(ctx context.Context, w io.Writer, what, since string) error {
	query := url.Values{}
	query.Set("what", what)
	query.Set("since", since)
	body, err := c.get(ctx, PathAudit, query)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	_, err = io.Copy(w, body)
	return errors.WithStack(err)
}

func (c *Client) get(ctx context.Context, path string, query url.Values) (io.ReadCloser, error) {
	target := c.base + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		_ = response.Body.Close()
		return nil, &ResponseError{Path: path, Status: response.StatusCode, Body: strings.TrimSpace(string(text))}
	}
	return response.Body, nil
}

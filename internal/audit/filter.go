package audit

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Filter selects records. The zero value selects all.
type Filter struct {
	// What is matched against Record.What or against its subject. If empty, all
	// records match.
	What string
	// Since excludes older records.
	Since time.Time
}

// FilterError reports an invalid value of since.
type FilterError struct {
	Value string
}

// Error implements error.
func (e *FilterError) Error() string {
	return fmt.Sprintf("since = %q is not valid; allowed is a duration such as 15m or a time such as 2026-01-31T09:00:00Z", e.Value)
}

// ParseFilter returns the filter for the given query values. since is empty, a
// duration before now, or a time in RFC 3339 format. The error is a *FilterError.
func ParseFilter(what, since string, now time.Time) (Filter, error) {
	filter := Filter{What: what}
	if since == "" {
		return filter, nil
	}
	if ago, err := time.ParseDuration(since); err == nil {
		filter.Since = now.Add(-ago)
		return filter, nil
	}
	at, err := time.Parse(time.RFC3339, since)
	if err != nil {
		return filter, &FilterError{Value: since}
	}
	filter.Since = at
	return filter, nil
}

// Match reports whether the filter selects the record.
func (f Filter) Match(r Record) bool {
	if r.At.Before(f.Since) {
		return false
	}
	subject, _, _ := strings.Cut(r.What, "/")
	return f.What == "" || f.What == r.What || f.What == subject
}

// WriteLines writes the stored records that the filter selects as JSON lines, oldest
// first.
func (t *Trail) WriteLines(w io.Writer, filter Filter) error {
	encoder := json.NewEncoder(w)
	for _, record := range t.Records() {
		if !filter.Match(record) {
			continue
		}
		if err := encoder.Encode(record); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

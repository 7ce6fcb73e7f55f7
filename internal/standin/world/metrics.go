package world

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const metricsTimeout = 2 * time.Second

// MetricByCause returns the sum of all metrics of the node that have the given
// value of the cause label, read from its /metrics endpoint.
func (n *Node) MetricByCause(cause string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ops.String()+"/metrics", nil)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), `cause="`+cause+`"`) {
			continue
		}
		fields := strings.Fields(lines.Text())
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, errors.WithStack(err)
		}
		sum += value
	}
	return int(sum), errors.WithStack(lines.Err())
}

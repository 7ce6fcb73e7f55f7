package ops

import (
	"net/http"
	"sync"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// MetricsHandler serves the samples of sources in the Prometheus text format. It
// creates the exporter on the first request, so that it does not delay the start of
// the process.
func MetricsHandler(sources []metrics.Source) http.Handler {
	initExporter := sync.OnceValues(func() (*exporter, error) { return newExporter(sources) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		exporter, err := initExporter()
		if err == nil {
			err = exporter.collect()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		exporter.handler.ServeHTTP(w, r)
	})
}

package ops

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	promexporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

const (
	meterName = "github.com/turmericrock/turmericrock"
	namespace = "turmericrock"
	causeKey  = attribute.Key("cause")
)

// exporter exports the samples of the sources through OpenTelemetry observable
// instruments.
type exporter struct {
	sources []metrics.Source
	meter   metric.Meter
	handler http.Handler

	mu          sync.Mutex
	samples     []metrics.Sample
	instruments map[string]metric.Int64Observable
	callback    metric.Registration
}

func newExporter(sources []metrics.Source) (*exporter, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reader, err := promexporter.New(
		promexporter.WithRegisterer(registry),
		promexporter.WithNamespace(namespace),
		promexporter.WithoutScopeInfo(),
		promexporter.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &exporter{
		sources:     sources,
		meter:       provider.Meter(meterName),
		handler:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		instruments: make(map[string]metric.Int64Observable),
	}, nil
}

// collect replaces the samples with current ones and creates instruments for metric
// names that it sees for the first time.
func (e *exporter) collect() error {
	var samples []metrics.Sample
	for _, source := range e.sources {
		source.Collect(func(s metrics.Sample) { samples = append(samples, s) })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = samples
	added := false
	for _, s := range samples {
		if e.instruments[s.Name] != nil {
			continue
		}
		instrument, err := e.newInstrument(s)
		if err != nil {
			return err
		}
		e.instruments[s.Name] = instrument
		added = true
	}
	if !added {
		return nil
	}
	return e.registerCallback()
}

func (e *exporter) newInstrument(s metrics.Sample) (metric.Int64Observable, error) {
	if s.Gauge {
		gauge, err := e.meter.Int64ObservableGauge(s.Name)
		return gauge, errors.WithStack(err)
	}
	counter, err := e.meter.Int64ObservableCounter(s.Name)
	return counter, errors.WithStack(err)
}

// registerCallback replaces the registered callback with one that covers all
// instruments. The caller holds mu.
func (e *exporter) registerCallback() error {
	if e.callback != nil {
		if err := e.callback.Unregister(); err != nil {
			return errors.WithStack(err)
		}
	}
	all := make([]metric.Observable, 0, len(e.instruments))
	for _, instrument := range e.instruments {
		all = append(all, instrument)
	}
	callback, err := e.meter.RegisterCallback(e.observe, all...)
	e.callback = callback
	return errors.WithStack(err)
}

func (e *exporter) observe(_ context.Context, observer metric.Observer) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.samples {
		var options []metric.ObserveOption
		if s.Cause != "" {
			options = append(options, metric.WithAttributes(causeKey.String(s.Cause)))
		}
		observer.ObserveInt64(e.instruments[s.Name], s.Value, options...)
	}
	return nil
}

// Package trace installs the OpenTelemetry tracer provider, its exporter and the
// W3C trace context propagator.
package trace

import (
	"context"
	"io"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"cairnbay"
)

// Values of Config.Exporter.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

// Config configures the tracing of a process.
type Config struct {
	// Exporter is one of the Export constants; URL is the endpoint of
	// ExportOTLP.
	Exporter string
	URL      string
	// Out receives the spans of ExportStdout.
	Out io.Writer
	// Instance and DataCentre are resource attributes of all spans.
	Instance   string
	DataCentre string
}

// Start installs the global tracer provider and returns a function that flushes
// pending spans and shuts it down. With ExportNone it only installs the
// propagator. Errors: ErrInvalid if the exporter is unknown or cannot be created.
func Start(ctx context.Context, config Config) (stop func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if config.Exporter == ExportNone {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := newExporter(ctx, config)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "exporter %q: %v", config.Exporter, err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cairnbay"),
			attribute.String("service.instance.id", config.Instance),
			attribute.String("data_centre", config.DataCentre),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, config Config) (trace.SpanExporter, error) {
	switch config.Exporter {
	case ExportStdout:
		return stdouttrace.New(stdouttrace.WithWriter(config.Out))
	case ExportOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.URL))
	default:
		return nil, errors.Errorf("not one of none, stdout, otlp")
	}
}

// Package logging configures the log, which has one line of key=value pairs per
// event.
package logging

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to out. It returns an error if level is not a
// logrus level.
func New(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
	})
	return log, nil
}

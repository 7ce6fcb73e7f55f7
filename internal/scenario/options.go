package scenario

import (
	"strconv"
	"strings"
	"time"
)

// options holds the key=value arguments of a verb and the first error found
// while reading them.
type options struct {
	verb   string
	values map[string]string
	err    error
}

func parseOptions(verb string, args []string) *options {
	o := &options{verb: verb, values: make(map[string]string)}
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		if !found {
			o.setError(arg, "key=value")
		}
		o.values[key] = value
	}
	return o
}

func (o *options) setError(argument, allowed string) {
	if o.err == nil {
		o.err = &UsageError{Verb: o.verb, Argument: argument, Allowed: allowed}
	}
}

// pop returns the value of a key and removes it, so that finish can report the
// keys that no verb reads.
func (o *options) pop(key string) (string, bool) {
	value, found := o.values[key]
	delete(o.values, key)
	return value, found
}

func (o *options) integer(key string, fallback int) int {
	value, found := o.pop(key)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		o.setError(key+"="+value, "a whole number")
	}
	return n
}

// fraction returns a number from 0 to 1, or 0 if the key is missing.
func (o *options) fraction(key string) float64 {
	value, found := o.pop(key)
	if !found {
		return 0
	}
	fraction, err := strconv.ParseFloat(value, 64)
	if err != nil || fraction < 0 || fraction > 1 {
		o.setError(key+"="+value, "a number from 0 to 1")
	}
	return fraction
}

func (o *options) duration(key string, fallback time.Duration) time.Duration {
	value, found := o.pop(key)
	if !found {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		o.setError(key+"="+value, "a duration")
	}
	return d
}

func (o *options) list(key string) []string {
	value, found := o.pop(key)
	if !found {
		return nil
	}
	return strings.Split(value, ",")
}

// cutFlag reports whether the key is given; its only valid value is "cut".
func (o *options) cutFlag(key string) bool {
	value, found := o.pop(key)
	if found && value != "cut" {
		o.setError(key+"="+value, "cut")
	}
	return found
}

// finish returns the first error, or an error for an unknown key.
func (o *options) finish() error {
	for key := range o.values {
		o.setError(key, "a known option")
	}
	return o.err
}

package inifile

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Text returns a value, or fallback if the key is absent.
func (f *File) Text(section, key, fallback string) string {
	value, found := f.lookup(section, key)
	if !found {
		return fallback
	}
	return value
}

// Required returns the value of a required key. It must not be empty.
func (f *File) Required(section, key, allowed string) string {
	value, found := f.lookup(section, key)
	if !found {
		f.recordError(&Error{Section: section, Key: key, Problem: Missing, Allowed: allowed})
	} else if value == "" {
		f.Fail(section, key, value, allowed)
	}
	return value
}

// OneOf returns a value, which must be one of allowed, or fallback if the key is
// absent.
func (f *File) OneOf(section, key, fallback string, allowed ...string) string {
	value := f.Text(section, key, fallback)
	if !slices.Contains(allowed, value) {
		f.Fail(section, key, value, strings.Join(allowed, " or "))
	}
	return value
}

// Bool returns whether the value is yes or true, or fallback if the key is
// absent.
func (f *File) Bool(section, key string, fallback bool) bool {
	value, found := f.lookup(section, key)
	if !found {
		return fallback
	}
	switch value {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	default:
		f.Fail(section, key, value, "yes or no")
		return fallback
	}
}

// AddrPort returns the IP address and port of a required key.
func (f *File) AddrPort(section, key, allowed string) netip.AddrPort {
	value := f.Required(section, key, allowed)
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		f.Fail(section, key, value, allowed)
	}
	return addr
}

// AddrPorts returns the IP addresses and ports of a required key, at least one.
func (f *File) AddrPorts(section, key, allowed string) []netip.AddrPort {
	return parseList(f, section, key, allowed, netip.ParseAddrPort)
}

// Prefixes returns the networks of a required key, at least one.
func (f *File) Prefixes(section, key, allowed string) []netip.Prefix {
	return parseList(f, section, key, allowed, netip.ParsePrefix)
}

// List returns a list of words separated by commas or spaces. It is empty if
// the key is absent.
func (f *File) List(section, key string) []string {
	value, _ := f.lookup(section, key)
	return splitList(value)
}

// Number returns a whole number from low to high, or fallback if the key is
// absent.
func (f *File) Number(section, key string, fallback, low, high int) int {
	value, found := f.lookup(section, key)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		f.Fail(section, key, value, numberRange(low, high))
	}
	return n
}

// RequiredNumber returns the whole number of a required key, from low to high.
func (f *File) RequiredNumber(section, key string, low, high int) int {
	f.Required(section, key, numberRange(low, high))
	return f.Number(section, key, low, low, high)
}

// Duration returns a duration from low to high, or fallback if the key is
// absent.
func (f *File) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	value, found := f.lookup(section, key)
	if !found {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		f.Fail(section, key, value, "a duration with its unit, "+low.String()+" to "+high.String())
	}
	return d
}

func parseList[T any](f *File, section, key, allowed string, parse func(string) (T, error)) []T {
	value := f.Required(section, key, allowed)
	var items []T
	for _, field := range splitList(value) {
		item, err := parse(field)
		if err != nil {
			f.Fail(section, key, value, allowed)
			return nil
		}
		items = append(items, item)
	}
	if len(items) == 0 {
		f.Fail(section, key, value, allowed)
	}
	return items
}

func numberRange(low, high int) string {
	return "a whole number, " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' || c == '\t' })
}

package settings

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// reader reads typed values from an INI file and keeps the first error. It
// remembers which keys were asked for, so that unknown ones can be told.
type reader struct {
	path  string
	file  *ini.File
	known map[string]map[string]bool
	err   error
}

func open(path string) (*reader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, path)
	if err != nil {
		return nil, &Error{File: path, Allowed: "a readable INI file", Err: err}
	}
	return &reader{path: path, file: file, known: make(map[string]map[string]bool)}, nil
}

// fail keeps the first error.
func (r *reader) fail(section, key, value, allowed string) {
	if r.err == nil {
		r.err = &Error{File: r.path, Section: section, Key: key, Value: value, Allowed: allowed}
	}
}

// raw returns a value and whether it is set.
func (r *reader) raw(section, key string) (string, bool) {
	if r.known[section] == nil {
		r.known[section] = make(map[string]bool)
	}
	r.known[section][key] = true
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(r.file.Section(section).Key(key).String()), true
}

func (r *reader) text(section, key, fallback string) string {
	value, found := r.raw(section, key)
	if !found {
		return fallback
	}
	return value
}

func (r *reader) required(section, key, allowed string) string {
	value, _ := r.raw(section, key)
	if value == "" {
		r.fail(section, key, value, allowed)
	}
	return value
}

func (r *reader) addrPort(section, key string) netip.AddrPort {
	value := r.required(section, key, "IP:port")
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		r.fail(section, key, value, "IP:port")
	}
	return addr
}

func (r *reader) addrPorts(section, key string) []netip.AddrPort {
	value := r.required(section, key, "a list of IP:port")
	var addrs []netip.AddrPort
	for _, field := range fields(value) {
		addr, err := netip.ParseAddrPort(field)
		if err != nil {
			r.fail(section, key, value, "a list of IP:port")
			return nil
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

func (r *reader) prefixes(section, key string) []netip.Prefix {
	value := r.required(section, key, "a list of networks such as 10.0.0.0/8")
	var prefixes []netip.Prefix
	for _, field := range fields(value) {
		prefix, err := netip.ParsePrefix(field)
		if err != nil {
			r.fail(section, key, value, "a list of networks such as 10.0.0.0/8")
			return nil
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

func (r *reader) number(section, key string, fallback, low, high int) int {
	value, found := r.raw(section, key)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		r.fail(section, key, value, strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
	return n
}

func (r *reader) duration(section, key string, fallback, low, high time.Duration) time.Duration {
	value, found := r.raw(section, key)
	if !found {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.fail(section, key, value, "a duration, "+low.String()+" to "+high.String())
	}
	return d
}

// finish returns the first error, and else one for the first unknown key.
func (r *reader) finish() error {
	if r.err != nil {
		return r.err
	}
	for _, section := range r.file.Sections() {
		for _, key := range section.Keys() {
			if !r.known[section.Name()][key.Name()] {
				r.fail(section.Name(), key.Name(), key.String(), "no such key")
			}
		}
	}
	return r.err
}

func fields(list string) []string {
	return strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' })
}

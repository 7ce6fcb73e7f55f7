// Package inifile reads typed values from INI files and reports the first
// error: an unknown or repeated section or key, or a missing or malformed value.
package inifile

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// File is a parsed INI file. Its methods record the first error, so that a
// caller can read all values and check for an error once, with Finish.
type File struct {
	path      string
	file      *ini.File
	requested map[string][]string
	err       *Error
	// hideValues keeps values out of error messages.
	hideValues bool
}

// Load reads and parses the file. The error is an *Error.
func Load(path string) (*File, error) {
	return parse(path, path)
}

// Parse parses the content of a file; path names the file in errors. The error
// is an *Error.
func Parse(path string, content []byte) (*File, error) {
	return parse(path, content)
}

func parse(path string, source any) (*File, error) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}
	file, err := ini.LoadSources(options, source)
	if err != nil {
		return nil, &Error{File: path, Problem: Unreadable, Allowed: "a readable INI file", Err: err}
	}
	f := &File{path: path, file: file, requested: make(map[string][]string)}
	f.rejectDuplicates()
	return f, nil
}

// rejectDuplicates records an error for sections and keys that occur more than
// once and for keys before the first section.
func (f *File) rejectDuplicates() {
	seen := make(map[string]bool)
	for _, section := range f.file.Sections() {
		name := section.Name()
		if seen[name] {
			f.recordError(&Error{Section: name, Problem: Repeated, Allowed: "one section of a name"})
		}
		seen[name] = true
		for _, key := range section.Keys() {
			f.checkKey(name, key)
		}
	}
}

func (f *File) checkKey(section string, key *ini.Key) {
	if section == ini.DefaultSection {
		f.recordError(&Error{Key: key.Name(), Value: key.Value(), Problem: Unknown, Allowed: "a key within a section"})
	}
	if len(key.ValueWithShadows()) > 1 {
		f.recordError(&Error{Section: section, Key: key.Name(), Value: key.Value(), Problem: Repeated, Allowed: "one value for a key"})
	}
}

// Path returns the name of the file.
func (f *File) Path() string {
	return f.path
}

// Sections returns the names of the sections in the order of the file.
func (f *File) Sections() []string {
	var names []string
	for _, section := range f.file.Sections() {
		if section.Name() != ini.DefaultSection {
			names = append(names, section.Name())
		}
	}
	return names
}

// Has reports whether the file has the section.
func (f *File) Has(section string) bool {
	return slices.Contains(f.Sections(), section)
}

// Fail records the error that a value is not valid, unless one has already been
// recorded.
func (f *File) Fail(section, key, value, allowed string) {
	f.recordError(&Error{Section: section, Key: key, Value: value, Problem: Invalid, Allowed: allowed})
}

// FailSection records the error that the name of a section is not valid, unless
// one has already been recorded.
func (f *File) FailSection(section, allowed string) {
	f.recordError(&Error{Section: section, Problem: Invalid, Allowed: allowed})
}

// Err returns the first error recorded so far, or nil.
func (f *File) Err() error {
	if f.err == nil {
		return nil
	}
	return f.err
}

// Finish returns the first recorded error or, if there is none, an error for
// the first section or key that no method has read.
func (f *File) Finish() error {
	for _, section := range f.Sections() {
		keys, found := f.requested[section]
		if !found {
			f.recordError(&Error{Section: section, Problem: Unknown, Allowed: "one of " + f.requestedSections()})
			continue
		}
		for _, key := range f.file.Section(section).Keys() {
			if !slices.Contains(keys, key.Name()) {
				f.recordUnknownKey(section, key, keys)
			}
		}
	}
	return f.Err()
}

func (f *File) recordUnknownKey(section string, key *ini.Key, requested []string) {
	f.recordError(&Error{
		Section: section,
		Key:     key.Name(),
		Value:   key.Value(),
		Problem: Unknown,
		Allowed: "one of " + strings.Join(requested, ", "),
	})
}

func (f *File) requestedSections() string {
	names := make([]string, 0, len(f.requested))
	for name := range f.requested {
		names = append(names, "["+name+"]")
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (f *File) recordError(err *Error) {
	if f.err != nil {
		return
	}
	err.File = f.path
	f.err = err
	if f.hideValues {
		f.maskValue()
	}
}

// HideValues keeps values out of error messages, for files with secrets.
func (f *File) HideValues() {
	f.hideValues = true
	f.maskValue()
}

func (f *File) maskValue() {
	if f.err != nil {
		f.err.Value = hiddenValue
	}
}

const hiddenValue = "(hidden)"

// lookup returns a value and whether the key is present. It marks the section
// and the key as requested, so that Finish does not report them as unknown.
func (f *File) lookup(section, key string) (string, bool) {
	if !slices.Contains(f.requested[section], key) {
		f.requested[section] = append(f.requested[section], key)
	}
	if !f.Has(section) || !f.file.Section(section).HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(f.file.Section(section).Key(key).Value()), true
}

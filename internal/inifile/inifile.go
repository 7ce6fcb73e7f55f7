// Package inifile reads typed values from INI files and reports the first
// place that cannot be used: an unknown or repeated section or key, a missing
// or a malformed value.
package inifile

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// File is an INI file being read. It keeps the first error, so that a caller
// reads all values and asks once.
type File struct {
	path      string
	file      *ini.File
	requested map[string][]string
	err       *Error
	// hideValues keeps values out of errors.
	hideValues bool
}

// Load opens the file. The error is an *Error.
func Load(path string) (*File, error) {
	return parse(path, path)
}

// Parse reads the content of a file with the name path. The error is an
// *Error.
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

// rejectDuplicates fails on sections and keys that are there twice and on keys
// before the first section.
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

// Fail keeps the error that a value is not valid, unless there was one
// before.
func (f *File) Fail(section, key, value, allowed string) {
	f.recordError(&Error{Section: section, Key: key, Value: value, Problem: Invalid, Allowed: allowed})
}

// FailSection keeps the error that the name of a section is not valid.
func (f *File) FailSection(section, allowed string) {
	f.recordError(&Error{Section: section, Problem: Invalid, Allowed: allowed})
}

// Err returns the first error so far.
func (f *File) Err() error {
	if f.err == nil {
		return nil
	}
	return f.err
}

// Finish returns the first error, and else one for the first section or key
// that was never asked for.
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

// HideValues keeps the values of a file with secrets out of errors.
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

// lookup returns a value and whether the key is there.
func (f *File) lookup(section, key string) (string, bool) {
	if !slices.Contains(f.requested[section], key) {
		f.requested[section] = append(f.requested[section], key)
	}
	if !f.Has(section) || !f.file.Section(section).HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(f.file.Section(section).Key(key).Value()), true
}

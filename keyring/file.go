package keyring

import (
	"encoding/hex"
	"os"
	"strconv"
	"strings"

	"github.com/turmericrock/turmericrock/internal/inifile"
)

const (
	sectionKeys   = "keys"
	sectionPrefix = "key "
	allowedSecret = "64 hex digits"
)

// LoadFile reads keys from an INI file:
//
//	[keys]
//	active = 1
//
//	[key 1]
//	secret = 64 hex digits
//
// The error is a *FileError or a *KeysError. It never contains a secret.
func LoadFile(path string) (Keys, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Keys{}, &FileError{File: path, Reason: err.Error()}
	}
	return Parse(path, content)
}

// Parse parses the content of a key file; path names the file in errors. The
// error is a *FileError or a *KeysError and never contains a secret.
func Parse(path string, content []byte) (Keys, error) {
	file, err := inifile.Parse(path, content)
	if err != nil {
		return Keys{}, &FileError{File: path, Reason: "is not an INI file"}
	}
	file.HideValues()
	keys := Keys{Active: uint8(file.RequiredNumber(sectionKeys, "active", 0, MaxGeneration))}
	for _, section := range file.Sections() {
		number, found := strings.CutPrefix(section, sectionPrefix)
		if found {
			keys.Keys = append(keys.Keys, parseKey(file, section, number))
		}
	}
	if err := file.Finish(); err != nil {
		return Keys{}, &FileError{File: path, Reason: strings.TrimPrefix(err.Error(), path+": ")}
	}
	return keys, keys.Validate()
}

func parseKey(file *inifile.File, section, number string) Key {
	generation, err := strconv.ParseUint(number, 10, 8)
	if err != nil || generation > MaxGeneration {
		file.FailSection(section, "[key N], where N is a generation, 0 to 7")
	}
	key := Key{Generation: uint8(generation)}
	secret := file.Required(section, "secret", allowedSecret)
	raw, err := hex.DecodeString(secret)
	if err != nil || len(raw) != SecretSize {
		file.Fail(section, "secret", "", allowedSecret)
		return key
	}
	copy(key.Secret[:], raw)
	return key
}

package keyring

import (
	"encoding/hex"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// LoadFile reads keys from an INI file:
//
//	[keys]
//	active = 1
//
//	[key 1]
//	secret = 64 hex digits
//
// The error is a *FileError or a *KeysError.
func LoadFile(path string) (Keys, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Keys{}, &FileError{File: path, Reason: err.Error()}
	}
	active, err := strconv.ParseUint(file.Section("keys").Key("active").String(), 10, 8)
	if err != nil {
		return Keys{}, &FileError{File: path, Reason: "[keys] active must be a generation, 0 to 7"}
	}
	keys := Keys{Active: uint8(active)}
	for _, section := range file.Sections() {
		number, found := strings.CutPrefix(section.Name(), "key ")
		if !found {
			continue
		}
		key, err := parseKey(path, number, section.Key("secret").String())
		if err != nil {
			return Keys{}, err
		}
		keys.Keys = append(keys.Keys, key)
	}
	return keys, keys.Validate()
}

func parseKey(path, number, secret string) (Key, error) {
	generation, err := strconv.ParseUint(number, 10, 8)
	if err != nil {
		return Key{}, &FileError{File: path, Reason: "section [key " + number + "] must name a generation, 0 to 7"}
	}
	raw, err := hex.DecodeString(secret)
	if err != nil || len(raw) != SecretSize {
		return Key{}, &FileError{File: path, Reason: "[key " + number + "] secret must be 64 hex digits"}
	}
	key := Key{Generation: uint8(generation)}
	copy(key.Secret[:], raw)
	return key, nil
}

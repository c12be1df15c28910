package config

import (
	"net/netip"
	"path/filepath"
	"strconv"

	"guavarail/core/model"
)

// key describes one key of a settings file with a value of type T.
type key[T any] struct {
	name string
	// allowed describes the accepted values in the text of a fault.
	allowed  string
	required bool
	// defaultValue is in effect when the file does not have the key. A required key
	// has none.
	defaultValue T
	// parse returns false if the text is not accepted.
	parse  func(text string) (T, bool)
	format func(val T) string
}

// textKey returns a required key whose value is any text for which valid returns true.
func textKey[T ~string](name, allowed string, valid func(text string) bool) key[T] {
	return key[T]{
		name: name, allowed: allowed, required: true,
		parse:  func(text string) (T, bool) { return T(text), valid(text) },
		format: func(val T) string { return string(val) },
	}
}

const nameAllowed = model.NameAllowed

func nameKey[T ~string](name string) key[T] { return textKey[T](name, nameAllowed, model.ValidName) }

func addressKey(name string) key[netip.AddrPort] {
	return key[netip.AddrPort]{
		name: name, allowed: "an IP address and a port from 1 to 65535, such as 10.0.0.1:7000", required: true,
		parse: func(text string) (netip.AddrPort, bool) {
			adr, err := netip.ParseAddrPort(text)
			return adr, err == nil && adr.Port() > 0
		},
		format: netip.AddrPort.String,
	}
}

// optionalAddressKey returns a key whose value is an address that may be left out. The
// value is then the zero AddrPort, which is formatted as an empty text.
func optionalAddressKey(name string) key[netip.AddrPort] {
	ke := addressKey(name)
	ke.required = false
	ke.format = func(val netip.AddrPort) string {
		if !val.IsValid() {
			return ""
		}
		return val.String()
	}
	return ke
}

func boolKey(name string) key[bool] {
	return key[bool]{
		name: name, allowed: "yes or no",
		parse: func(text string) (bool, bool) { return text == "yes", text == "yes" || text == "no" },
		format: func(val bool) string {
			if val {
				return "yes"
			}
			return "no"
		},
	}
}

// intKey returns a key whose value is a whole number from low to high.
func intKey(name string, def, low, high int) key[int] {
	return key[int]{
		name: name, allowed: strconv.Itoa(low) + " to " + strconv.Itoa(high), defaultValue: def,
		parse: func(text string) (int, bool) {
			val, err := strconv.Atoi(text)
			return val, err == nil && val >= low && val <= high
		},
		format: strconv.Itoa,
	}
}

func dirKey(name string) key[string] {
	ke := textKey[string](name, "an absolute path, or leave it out on a VM without a disk", filepath.IsAbs)
	ke.required = false
	return ke
}

func levelKey(name string) key[string] {
	levels := map[string]bool{"trace": true, "debug": true, "info": true, "warn": true, "error": true}
	ke := textKey[string](name, "trace, debug, info, warn or error", func(text string) bool { return levels[text] })
	ke.required, ke.defaultValue = false, "info"
	return ke
}

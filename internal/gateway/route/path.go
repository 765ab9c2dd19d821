package route

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// Errors of the normalisers. Each means that the request could be read in two ways, or in none.
var (
	errNoSlash  = errors.New("path: does not begin with a slash")
	errAbove    = errors.New("path: climbs over its root")
	errParam    = errors.New("path: a dot segment with parameters")
	errFragment = errors.New("path: holds a fragment")
)

// Class of each byte in a path.
const (
	literalByte = iota + 1 // stands as it is (RFC 3986, 3.3 pchar)
	encodedByte            // is written as %XX
)

var pathBytes = func() (t [256]uint8) {
	for c := range t {
		switch {
		case isUnreserved(byte(c)) || strings.IndexByte("!$&'()*+,;=:@", byte(c)) >= 0:
			t[c] = literalByte
		case c >= 0x80 || strings.IndexByte("\"<>^`{|}", byte(c)) >= 0:
			t[c] = encodedByte
		}
	}
	return t
}()

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// NormalisePath returns the one form of a path (the request target up to its question mark) in which it is matched
// and sent on, so that no writing of a path reaches an endpoint by a route that it was not matched against:
//
//   - %XX of an unreserved character is decoded, other hexadecimal digits are upper case (RFC 3986, 6.2.2)
//   - bytes that must not stand in a path (beyond ASCII, quotes, braces) are encoded
//   - empty segments go ("//" is "/"), then dot segments ("." and "..", also encoded) are resolved; a slash at the
//     end stays
//
// What peers read differently is an error: %2F, %5C and a backslash, control characters and spaces, %XX of one, half an
// encoding, a path that climbs over its root, a fragment, dot segments with parameters ("..;x").
//
// It allocates nothing where the path is in that form. The function is its own fixed point.
func NormalisePath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", errNoSlash
	}
	for i := 0; i < len(raw); i++ {
		c := raw[i]
		if pathBytes[c] == literalByte && (c != '.' || raw[i-1] != '/') || c == '/' && (i == 0 || raw[i-1] != '/') {
			continue
		}
		return rewritePath(raw)
	}
	return raw, nil
}

func rewritePath(raw string) (string, error) {
	out := make([]byte, 0, len(raw)+16)
	var starts []int // of the segments in out, at their slashes
	for rest, more := raw[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		at := len(out)
		out = append(out, '/')
		var err error
		if out, err = appendSegment(out, segment); err != nil {
			return "", err
		}
		switch text := string(out[at+1:]); {
		case text == "" || text == ".":
			out = out[:at]
			if !more { // a slash at the end stays
				out = append(out, '/')
			}
			continue
		case text == "..":
			if len(starts) == 0 {
				return "", errAbove
			}
			out = out[:starts[len(starts)-1]]
			starts = starts[:len(starts)-1]
			if !more {
				out = append(out, '/')
			}
			continue
		case isDotSegmentWithParameters(text):
			return "", errParam
		}
		starts = append(starts, at)
	}
	if len(out) == 0 {
		out = append(out, '/')
	}
	return string(out), nil
}

// isDotSegmentWithParameters tells of a segment that is a dot segment to peers that cut parameters off first.
func isDotSegmentWithParameters(segment string) bool {
	for _, mark := range []string{";", "%3B"} {
		if base, _, cut := strings.Cut(segment, mark); cut && (base == "." || base == "..") {
			return true
		}
	}
	return false
}

func appendSegment(out []byte, segment string) ([]byte, error) {
	const digits = "0123456789ABCDEF"
	for i := 0; i < len(segment); i++ {
		c := segment[i]
		escaped := c == '%'
		if escaped {
			if i+2 >= len(segment) || hexValue(segment[i+1]) < 0 || hexValue(segment[i+2]) < 0 {
				return nil, fmt.Errorf("path: %.3q is no encoded byte", segment[i:])
			}
			c = byte(hexValue(segment[i+1])<<4 | hexValue(segment[i+2]))
			i += 2
		}
		switch {
		case c < 0x20 || c == 0x7f || c == '\\' || c == '/' || !escaped && c == ' ':
			return nil, fmt.Errorf("path: byte %#02x", c)
		case !escaped && c == '#':
			return nil, errFragment
		case isUnreserved(c) || !escaped && pathBytes[c] == literalByte:
			out = append(out, c)
		default:
			out = append(out, '%', digits[c>>4], digits[c&15])
		}
	}
	return out, nil
}

func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// NormaliseHost returns the form in which a Host header is matched: lower case, with no port and no dot at its end.
// An IPv6 address loses its brackets. It allocates nothing for a name in lower case.
func NormaliseHost(raw string) (string, error) {
	host := raw
	switch i := strings.LastIndexByte(host, ':'); {
	case strings.HasPrefix(host, "["):
		end := strings.IndexByte(host, ']')
		if end < 0 || end+1 < len(host) && (host[end+1] != ':' || !isPort(host[end+2:])) {
			return "", fmt.Errorf("host: %.60q", raw)
		}
		ip, err := netip.ParseAddr(host[1:end])
		if err != nil || !ip.Is6() || ip.Zone() != "" {
			return "", fmt.Errorf("host: %.60q", raw)
		}
		return ip.String(), nil
	case i >= 0:
		if !isPort(host[i+1:]) {
			return "", fmt.Errorf("host: port of %.60q", raw)
		}
		host = host[:i]
	}
	if len(host) > 1 {
		host = strings.TrimSuffix(host, ".")
	}
	if strings.HasSuffix(host, ".") {
		return "", fmt.Errorf("host: an empty label in %.60q", raw)
	}
	if len(host) > 253 {
		return "", errors.New("host: over 253 bytes")
	}
	upper := false
	label := 0
	for i := 0; i < len(host); i++ {
		switch c := host[i]; {
		case c == '.':
			if label == 0 {
				return "", fmt.Errorf("host: an empty label in %.60q", raw)
			}
			label = -1
		case 'A' <= c && c <= 'Z':
			upper = true
		case 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-' || c == '_':
		default:
			return "", fmt.Errorf("host: byte %#02x", c)
		}
		if label++; label > 63 {
			return "", fmt.Errorf("host: a label of over 63 bytes in %.60q", raw)
		}
	}
	if upper {
		host = strings.ToLower(host)
	}
	return host, nil
}

// isPort tells whether text is a port, or empty, which stands for none (RFC 3986, 3.2.3).
func isPort(text string) bool {
	n := 0
	for i := 0; i < len(text); i++ {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
		if n = n*10 + int(text[i]-'0'); n > 65535 {
			return false
		}
	}
	return true
}

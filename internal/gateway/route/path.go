package route

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Errors of NormalisePath. Each means that the path is malformed or ambiguous.
var (
	errMissingSlash         = errors.New("path: does not begin with a slash")
	errAboveRoot            = errors.New("path: climbs over its root")
	errDotSegmentParameters = errors.New("path: a dot segment with parameters")
	errFragment             = errors.New("path: holds a fragment")
)

// Classes of path bytes. Control characters, the space, '#', '%', '/', '?' and '\' have no class.
const (
	literalByte = iota + 1 // kept unchanged (RFC 3986, 3.3 pchar)
	encodedByte            // written as %XX
)

// pathBytes is the class of each byte, 0 if it has none.
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

// isUnreserved reports whether c is an unreserved character (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// NormalisePath returns the canonical form of a path (the request target up to its question mark). Requests are matched and
// forwarded with this form, so that no spelling of a path reaches an endpoint through a route that was not matched against
// what the endpoint sees:
//
//   - %XX of an unreserved character is decoded. The hexadecimal digits of other encodings are written in upper case
//     (RFC 3986, 6.2.2).
//   - Bytes that are not allowed in a path (beyond ASCII, quotes, braces) are encoded.
//   - Empty segments are removed ("//" becomes "/"). Then dot segments ("." and "..", also encoded ones) are resolved. A
//     slash at the end is kept.
//
// Paths that implementations interpret differently are an error. These contain %2F, %5C or a backslash, a control character
// or its encoding, a space, an incomplete encoding, a fragment, a dot segment with parameters ("..;x"), or a ".." that leads
// above the root.
//
// A path in canonical form is returned unchanged, without an allocation.
func NormalisePath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", errMissingSlash
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

// rewritePath returns the canonical form of a path that begins with a slash.
func rewritePath(raw string) (string, error) {
	out := make([]byte, 0, len(raw)+16)
	var starts []int // index of each segment in out, at its slash
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
			if !more { // keep the slash at the end
				out = append(out, '/')
			}
			continue
		case text == "..":
			if len(starts) == 0 {
				return "", errAboveRoot
			}
			out = out[:starts[len(starts)-1]]
			starts = starts[:len(starts)-1]
			if !more {
				out = append(out, '/')
			}
			continue
		case isDotSegmentWithParameters(text):
			return "", errDotSegmentParameters
		}
		starts = append(starts, at)
	}
	if len(out) == 0 {
		out = append(out, '/')
	}
	return string(out), nil
}

// isDotSegmentWithParameters reports whether a segment is a dot segment for implementations that remove its parameters
// before they resolve dot segments.
func isDotSegmentWithParameters(segment string) bool {
	for _, separator := range []string{";", "%3B"} {
		if base, _, cut := strings.Cut(segment, separator); cut && (base == "." || base == "..") {
			return true
		}
	}
	return false
}

// appendSegment appends the canonical form of a segment to out.
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

// hexValue returns the value of a hexadecimal digit, -1 if c is none.
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

const (
	maxHostLength  = 253 // bytes, without the dot at the end (RFC 1035, 2.3.4)
	maxLabelLength = 63  // bytes (RFC 1035, 2.3.4)
)

// NormaliseHost returns the form in which a Host header is matched: in lower case, without a port and without a dot at its
// end. The brackets of an IPv6 address are removed. A name in lower case needs no allocation.
func NormaliseHost(raw string) (string, error) {
	host := raw
	switch i := strings.LastIndexByte(host, ':'); {
	case strings.HasPrefix(host, "["):
		return normaliseIPv6(raw)
	case i >= 0:
		if !isPort(host[i+1:]) {
			return "", fmt.Errorf("host: invalid port in %.60q", raw)
		}
		host = host[:i]
	}
	if len(host) > 1 {
		host = strings.TrimSuffix(host, ".")
	}
	if strings.HasSuffix(host, ".") {
		return "", fmt.Errorf("host: an empty label in %.60q", raw)
	}
	if len(host) > maxHostLength {
		return "", errors.New("host: name is longer than 253 bytes")
	}
	hasUpper, err := checkLabels(host, raw)
	if err != nil {
		return "", err
	}
	if hasUpper {
		host = strings.ToLower(host)
	}
	return host, nil
}

// normaliseIPv6 returns the canonical form of an IPv6 address in brackets, with or without a port.
func normaliseIPv6(raw string) (string, error) {
	end := strings.IndexByte(raw, ']')
	if end < 0 || end+1 < len(raw) && (raw[end+1] != ':' || !isPort(raw[end+2:])) {
		return "", fmt.Errorf("host: %.60q is not an IPv6 address in brackets with an optional port", raw)
	}
	ip, err := netip.ParseAddr(raw[1:end])
	if err != nil || !ip.Is6() || ip.Zone() != "" {
		return "", fmt.Errorf("host: %.60q is not an IPv6 address in brackets with an optional port", raw)
	}
	return ip.String(), nil
}

// checkLabels checks the characters and the lengths of a name's labels. It reports whether the name has upper-case letters.
func checkLabels(host, raw string) (hasUpper bool, err error) {
	length := 0
	for i := 0; i < len(host); i++ {
		switch c := host[i]; {
		case c == '.':
			if length == 0 {
				return false, fmt.Errorf("host: an empty label in %.60q", raw)
			}
			length = 0
			continue
		case 'A' <= c && c <= 'Z':
			hasUpper = true
		case 'a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-' || c == '_':
		default:
			return false, fmt.Errorf("host: byte %#02x is not allowed", c)
		}
		if length++; length > maxLabelLength {
			return false, fmt.Errorf("host: a label is longer than 63 bytes in %.60q", raw)
		}
	}
	return hasUpper, nil
}

// isPort reports whether text is a port number or empty. An empty one stands for no port (RFC 3986, 3.2.3).
func isPort(text string) bool {
	n := 0
	for i := 0; i < len(text); i++ {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
		if n = n*10 + int(text[i]-'0'); n > math.MaxUint16 {
			return false
		}
	}
	return true
}

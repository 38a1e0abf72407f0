package gateway

import (
	"net/url"
	"strings"
	"unicode/utf8"
)

// servicePath returns the path below "/service/{service}", still percent-encoded, with a leading slash.
func servicePath(u *url.URL) string {
	rest := strings.TrimPrefix(u.EscapedPath(), "/service/")
	i := strings.IndexByte(rest, '/')
	if i < 0 {
		return "/"
	}
	return rest[i:]
}

// plainPath decodes a path and reports whether it is unambiguous.
//
// The route is found by the decoded path, but the upstream gets the path as it came. A path is ambiguous if servers
// differ in what they make of it, since the request could then run on a route whose key, method or limits were not
// checked: escaped slashes and escaped ordinary characters, empty and dot segments, path parameters, backslashes,
// control characters and overlong UTF-8.
func decodePath(escaped string) (decoded string, ok bool) {
	decoded = percentDecode(escaped)
	if hasAmbiguousEscape(escaped) || !utf8.ValidString(decoded) || strings.ContainsFunc(decoded, isAmbiguousRune) {
		return decoded, false
	}
	trimmed := strings.TrimSuffix(strings.TrimPrefix(decoded, "/"), "/")
	if trimmed == "" {
		return decoded, decoded == "/"
	}
	for segment := range strings.SplitSeq(trimmed, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return decoded, false
		}
	}
	return decoded, true
}

func isAmbiguousRune(r rune) bool {
	return r < ' ' || r == 0x7f || r == '\\' || r == ';'
}

// hasAmbiguousEscape reports an escape of a character that is never escaped, or of a slash. The tilde is exempt: older
// encoders escape it.
func hasAmbiguousEscape(s string) bool {
	for i := range len(s) {
		c, ok := decodeEscapeAt(s, i)
		if ok && (c == '/' || c == '-' || c == '.' || c == '_' || isAlphanumeric(c)) {
			return true
		}
	}
	return false
}

func isAlphanumeric(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z'
}

// unescaped decodes the percent-escapes of s and leaves invalid ones as they are.
func percentDecode(s string) string {
	if strings.IndexByte(s, '%') < 0 {
		return s
	}
	decoded := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		c, ok := decodeEscapeAt(s, i)
		if !ok {
			decoded = append(decoded, s[i])
			continue
		}
		decoded = append(decoded, c)
		i += 2
	}
	return string(decoded)
}

// escapeAt decodes the escape that starts at s[i], if there is one.
func decodeEscapeAt(s string, i int) (byte, bool) {
	if s[i] != '%' || i+2 >= len(s) {
		return 0, false
	}
	high, low := hexDigit(s[i+1]), hexDigit(s[i+2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

func hexDigit(c byte) int {
	i := strings.IndexByte("0123456789abcdefABCDEF", c)
	if i > 15 {
		return i - 6
	}
	return i
}

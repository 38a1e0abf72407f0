package gateway

import (
	"net/http"
	"net/textproto"
	"strings"

	"bluebellhold/id"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTimeout = "Request-Timeout"
	headerOutcome        = "Outcome"
	headerAttempt        = "Attempt"
	bearerPrefix         = "Bearer "
)

// hopByHopHeaders apply to one connection only and are not forwarded. Proxy-Authorization also holds credentials.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// bearerSecret returns the secret of the caller's API key, or an empty string.
func bearerSecret(h http.Header) string {
	value := h.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

func secretDigest(secret string) id.Digest {
	return id.DigestOf([]byte(secret))
}

// upstreamHeader returns a copy of the caller's headers without hop-by-hop headers and without any header that contains
// the caller's secret.
//
// Expect is removed because the server responds to it when the body is read.
func upstreamHeader(in http.Header, secret string) http.Header {
	out := make(http.Header, len(in)+1)
	for name, values := range in {
		if !headerContainsSecret(name, values, secret) {
			out[name] = values
		}
	}
	delete(out, "Authorization")
	delete(out, "Expect")
	removeHopByHopHeaders(out)
	return out
}

// headerContainsSecret reports whether a header contains the secret in its name or a value. Names are compared
// case-insensitively because the server has canonicalised them.
func headerContainsSecret(name string, values []string, secret string) bool {
	for _, value := range values {
		if containsSecret(value, secret) {
			return true
		}
	}
	return len(name) >= len(secret) && containsSecret(strings.ToLower(name), strings.ToLower(secret))
}

// containsSecret reports whether s contains the secret, verbatim or percent-encoded.
func containsSecret(s, secret string) bool {
	return secret != "" && (strings.Contains(s, secret) || strings.Contains(percentDecode(s), secret))
}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// copyResponseHeader copies the headers of an upstream's response that are forwarded to the caller.
func copyResponseHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	removeHopByHopHeaders(dst)
	delete(dst, headerOutcome)
}

package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/internal/steering"
)

var refusalTexts = map[steering.Code]string{
	steering.CodeNoRoute:     "the service has no such route",
	steering.CodeKey:         "the key is missing, unknown or withdrawn",
	steering.CodeStale:       "this instance cannot tell whether its configuration is the newest",
	steering.CodeRate:        "the organisation is above its rate",
	steering.CodeQueue:       "too many requests are waiting",
	steering.CodeDeadline:    "the request cannot be answered before its deadline",
	steering.CodeCapacity:    "no upstream can take the request",
	steering.CodeSuspect:     "requests like this one have crashed upstreams",
	steering.CodeIdempotency: "the route needs an Idempotency-Key header",
	steering.CodeMismatch:    "the idempotency key was used for another request",
	steering.CodeProgress:    "the first request with this idempotency key is still running",
	steering.CodeUnknown:     "the request was sent but its outcome is unknown",
	steering.CodeKept:        "the request ran, but its answer was too large to keep",
	steering.CodeStore:       "the claim for the request cannot be written",
	steering.CodeUpstream:    "the upstream failed",
	steering.CodeBody:        "the request's body or head is broken or too large",
}

// writeRefusal responds with the refusal's status and a short JSON body. The body gives the time to wait in
// milliseconds, Retry-After in seconds, rounded up.
func writeRefusal(w http.ResponseWriter, r steering.Refusal, now time.Time) {
	var retryAfterMs int64
	if !r.After.IsZero() {
		retryAfterMs = max(r.After.Sub(now).Milliseconds(), 1)
		w.Header().Set("Retry-After", strconv.FormatInt((retryAfterMs+999)/1000, 10))
	}
	body, err := json.Marshal(struct {
		Code    steering.Code    `json:"code"`
		Outcome steering.Outcome `json:"outcome"`
		After   int64            `json:"after,omitempty"`
		Error   string           `json:"error"`
	}{r.Code, r.Outcome, retryAfterMs, refusalTexts[r.Code]})
	if err != nil {
		panic("gateway: refusal cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Outcome", string(r.Outcome))
	w.WriteHeader(r.Status())
	_, _ = w.Write(body)
}

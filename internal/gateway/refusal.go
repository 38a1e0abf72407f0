package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/internal/drain"
	"bluebellhold/internal/steering"
)

var refusalTexts = map[steering.Code]string{
	steering.CodeNoRoute:           "the service has no such route",
	steering.CodeInvalidKey:        "the key is missing, unknown or withdrawn",
	steering.CodeStale:             "this instance cannot tell whether its configuration is the newest",
	steering.CodeRateLimited:       "the organisation is above its rate",
	steering.CodeQueueFull:         "too many requests are waiting",
	steering.CodeDeadline:          "the request cannot be answered before its deadline",
	steering.CodeCapacity:          "no upstream can take the request",
	steering.CodeSuspect:           "requests like this one have crashed upstreams",
	steering.CodeNoIdempotencyKey:  "the route needs an Idempotency-Key header",
	steering.CodeMismatch:          "the idempotency key was used for another request",
	steering.CodeInProgress:        "the first request with this idempotency key is still running",
	steering.CodeOutcomeUnknown:    "the request was sent but its outcome is unknown",
	steering.CodeResponseNotStored: "the request ran, but its answer was too large to keep",
	steering.CodeStoreUnavailable:  "the claim for the request cannot be written",
	steering.CodeUpstreamFailed:    "the upstream failed",
	steering.CodeInvalidBody:       "the request's body or head is broken or too large",
}

// writeRefusal responds with the refusal's status and a short JSON body. The body gives the time to wait in
// milliseconds, Retry-After in seconds, rounded up.
func writeRefusal(w http.ResponseWriter, r steering.Refusal, now time.Time) {
	var retryAfterMs int64
	if !r.RetryAt.IsZero() {
		retryAfterMs = max(r.RetryAt.Sub(now).Milliseconds(), 1)
		w.Header().Set("Retry-After", strconv.FormatInt((retryAfterMs+999)/1000, 10))
	}
	body := refusalBody(r, retryAfterMs)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Outcome", string(r.Outcome))
	w.WriteHeader(r.Status())
	_, _ = w.Write(body)
}

func refusalBody(r steering.Refusal, retryAfterMs int64) []byte {
	body, err := json.Marshal(struct {
		Code    steering.Code    `json:"code"`
		Outcome steering.Outcome `json:"outcome"`
		After   int64            `json:"after,omitempty"`
		Error   string           `json:"error"`
	}{r.Code, r.Outcome, retryAfterMs, refusalTexts[r.Code]})
	if err != nil {
		panic("gateway: refusal cannot be encoded: " + err.Error())
	}
	return body
}

// Refusal returns the body with which a request is refused for which the process has no room.
func Refusal() string {
	return string(refusalBody(
		steering.Refusal{Code: steering.CodeQueueFull, Outcome: steering.NotRun}, drain.RefusalDelay.Milliseconds(),
	))
}

// RefusalHeader returns what the header of such a refusal has beside the usual fields.
func RefusalHeader() map[string]string {
	return map[string]string{headerOutcome: string(steering.NotRun)}
}

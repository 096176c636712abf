package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	sd "sapphiredrum.example/sapphiredrum"
)

// problem is the body of every refusal.
type problem struct {
	Error problemDetail `json:"error"`
}

// problemDetail names the reason, what is known of the execution, and when to
// come back in milliseconds.
type problemDetail struct {
	Reason  sd.Reason `json:"reason"`
	Outcome string    `json:"outcome"`
	Retry   sd.Millis `json:"retry_after_ms,omitempty"`
	Detail  string    `json:"detail"`
}

// StatusOf returns the HTTP status of a refusal's reason.
func StatusOf(reason sd.Reason) int {
	switch reason {
	case sd.BadRequest:
		return http.StatusBadRequest
	case sd.TooLarge:
		return http.StatusRequestEntityTooLarge
	case sd.KeyMissing, sd.KeyUnknown, sd.KeyRevoked:
		return http.StatusUnauthorized
	case sd.ProgramWrongWorkspace:
		return http.StatusForbidden
	case sd.RouteUnknown, sd.ProgramUnknown:
		return http.StatusNotFound
	case sd.MethodNotAllowed:
		return http.StatusMethodNotAllowed
	case sd.ProgramEnded:
		return http.StatusGone
	case sd.HeadStale, sd.CallRepeated, sd.CallConflict, sd.RevisionConflict:
		return http.StatusConflict
	case sd.BudgetExhausted:
		return http.StatusPaymentRequired
	case sd.RateExceeded:
		return http.StatusTooManyRequests
	case sd.TargetFailed, sd.ResponseTruncated:
		return http.StatusBadGateway
	case sd.TimedOut:
		return http.StatusGatewayTimeout
	case sd.CallCancelled:
		return statusCancelled
	}
	return http.StatusServiceUnavailable
}

// refusalOf returns the refusal that an error stands for.
func refusalOf(ctx context.Context, err error) *sd.Refusal {
	var refusal *sd.Refusal
	if errors.As(context.Cause(ctx), &refusal) {
		return refusal
	}
	if errors.As(err, &refusal) {
		return refusal
	}
	return &sd.Refusal{Reason: sd.KeeperUnavailable, Outcome: sd.Unknown, RetryAfter: sd.Second, Detail: "another host did not answer"}
}

// detailOf returns the form of a refusal that callers see.
func detailOf(refusal *sd.Refusal) problem {
	return problem{Error: problemDetail{
		Reason: refusal.Reason, Outcome: refusal.Outcome.String(), Retry: refusal.RetryAfter, Detail: refusal.Detail,
	}}
}

// refuse answers with a refusal.
func refuse(c echo.Context, refusal *sd.Refusal) error {
	header := c.Response().Header()
	header.Set(outcomeHeader, refusal.Outcome.String())
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + sd.Second - 1) / sd.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return writeJSON(c, StatusOf(refusal.Reason), detailOf(refusal))
}

// Headers of the callers' protocol.
const (
	programHeader = "Sapphiredrum-Program"
	callHeader    = "Sapphiredrum-Call"
	headHeader    = "Sapphiredrum-Head"
	outcomeHeader = "Sapphiredrum-Outcome"
)

// statusCancelled is the status of a call whose caller gave it up.
const statusCancelled = 499

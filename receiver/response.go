package receiver

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/balancer"
	"sapphiredrum.example/sapphiredrum/exchanger"
	"sapphiredrum.example/sapphiredrum/platform"
)

// impliesNotRun reports whether the status tells callers that the request has not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// isTargetResponse reports whether the response comes from the target itself: an
// error or redirect, or a success with the target's stamp and no content encoding.
func isTargetResponse(response *exchanger.Answer) bool {
	reply := platform.DecodeReply(response.Status, response.Header)
	return response.Status >= 300 || (reply.Stamped && response.Header.Get("Content-Encoding") == "")
}

// forwardResponse forwards a response that is not streamed: in one piece, or as it
// arrives if it does not fit in the buffer.
func (q *request) forwardResponse(ctx context.Context, response *exchanger.Answer, release func(balancer.Result)) attemptResult {
	body := &buffer{quota: q.bufferQuota, holder: q.holder}
	defer body.release()
	complete, err := body.readBody(response)
	if complete {
		q.recordEnd(response, io.EOF, 0)
	} else if err != nil {
		q.recordEnd(response, err, 0)
	}
	if err == nil && !complete && response.Length < 0 && q.endsWithConn() {
		// An HTTP/1.0 caller cannot tell a truncated response without a length from a
		// complete one.
		err = sd.BrokenResponse.New("no buffer memory for a response of unknown length")
	}
	if err != nil || impliesNotRun(response.Status) || !isTargetResponse(response) {
		response.Close(err == nil && complete)
		q.Log.Warn("invalid or incomplete response from target", q.attemptFields(zap.Int("status", response.Status), zap.Error(err))...)
		if ctx.Err() != nil {
			release(balancer.Abandoned)
			return attemptGiveUp
		}
		release(balancer.Failed)
		if err != nil {
			q.reportBroken(ctx)
		}
		return q.retryResult()
	}
	if complete {
		q.reportSurvived()
	}
	if response.Status >= 500 && q.retryResult() == attemptRetry && ctx.Err() == nil {
		response.Close(complete)
		release(balancer.Failed)
		return attemptRetry
	}
	h := q.w.Header()
	platform.CallerHeader(response.Header, h)
	platform.MarkReply(h, q.params.Request)
	if complete {
		response.Close(true)
		release(resultOf(response))
		h["Content-Length"] = []string{strconv.Itoa(body.size)}
	} else if response.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(response.Length, 10)}
	}
	q.w.WriteHeader(response.Status)
	if complete {
		// The request has run, and what is left is the caller's reading.
		q.holder.SetEvict(func() { _ = q.controller().SetWriteDeadline(longPast) })
	}
	for _, part := range body.chunks {
		if _, err = q.w.Write(part); err != nil {
			break
		}
		q.holder.Progress(len(part))
	}
	evicted := !q.holder.SetEvict(nil)
	if !complete {
		return q.forwardRest(ctx, response, body, err, release)
	}
	switch {
	case err != nil && evicted:
		q.recordOutcome(response.Status, "answer not read, memory needed")
	case err != nil:
		q.recordOutcome(response.Status, "caller left")
	default:
		q.recordOutcome(response.Status, "")
	}
	return attemptAnswered
}

// resultOf returns the balancer result for a response that comes from the target.
func resultOf(response *exchanger.Answer) balancer.Result {
	if response.Status >= 500 {
		return balancer.Failed
	}
	return balancer.Served
}

// minRestBytes is the size of the buffer of forwardRest if there is no memory for one of
// exemptBytes. It is a part of what each connection takes; see starter.connectionBytes.
const minRestBytes = 4 << 10

// forwardRest forwards the rest of a long response as it arrives, after the buffered
// start. Failure is the error from writing that start to the caller, if any.
func (q *request) forwardRest(ctx context.Context, response *exchanger.Answer, buffered *buffer, failure error, release func(balancer.Result)) attemptResult {
	size := buffered.size
	buffered.release()
	space := make([]byte, minRestBytes)
	if q.holder.Reserve(exemptBytes) {
		space = make([]byte, exemptBytes)
	}
	for failure == nil {
		n, err := response.Body.Read(space)
		size += n
		if size > maxResponseBytes {
			err = sd.BrokenResponse.New("response exceeds the limit of %d bytes", maxResponseBytes)
			n = 0
		}
		if err != nil {
			q.recordEnd(response, err, 0)
		}
		if n > 0 {
			_, failure = q.w.Write(space[:n])
		}
		if err == io.EOF && failure == nil {
			response.Close(true)
			release(resultOf(response))
			q.reportSurvived()
			q.recordOutcome(response.Status, "")
			return attemptAnswered
		}
		if failure == nil {
			failure = err
		}
	}
	response.Close(false)
	if ctx.Err() != nil {
		release(balancer.Abandoned)
	} else {
		release(balancer.Failed)
		q.reportBroken(ctx)
	}
	q.Log.Warn("invalid or incomplete response from target", q.attemptFields(zap.Int("status", response.Status), zap.Int("bytes", size), zap.Error(failure))...)
	q.recordOutcome(response.Status, "answer broke off")
	panic(http.ErrAbortHandler)
}

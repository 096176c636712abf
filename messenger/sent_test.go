package messenger_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/messenger"
)

// Guards against a host that exceeds its memory as many large turns end at once: each message was held
// until its answer had ended, long after the peer had it.
func TestSentMessagesAreDropped(t *testing.T) {
	const messages, size = 20, 2 << 20
	read, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n < size {
			t.Errorf("%d bytes read: %v", n, err)
		}
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		read <- struct{}{}
		<-release
	}))
	defer server.Close()
	client := messenger.NewClient(nil)
	defer client.Close()
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ended := make(chan struct{})
	for range messages {
		go func() {
			_ = messenger.Follow(context.WithoutCancel(t.Context()), client, sd.Address(strings.TrimPrefix(server.URL, "http://")), "big",
				strings.Repeat("a", size), func(struct{}) error { return nil })
			ended <- struct{}{}
		}()
	}
	for range messages {
		<-read
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&during)
	close(release)
	for range messages {
		<-ended
	}
	if held := int64(during.HeapAlloc) - int64(before.HeapAlloc); held > messages*size/4 {
		t.Errorf("%d bytes are held for %d messages of %d bytes that the peer has", held, messages, size)
	}
}

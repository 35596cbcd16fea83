package emulator

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/platform/client"
)

// objects is the object store. An ETag covers the body and a write counter, so
// that writing the same body again still changes the ETag.
type objects struct {
	mu     sync.Mutex
	writes uint64
	m      map[string]client.Object
}

func newObjects() *objects { return &objects{m: map[string]client.Object{}} }

func (o *objects) get(key string) (client.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.m[key]
	return b, ok
}

func (o *objects) put(key string, body []byte, cond client.Condition) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, exists := o.m[key]
	if !permits(cond, old.ETag, exists) {
		return old.ETag, false
	}
	o.writes++
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16) + "-" + strconv.FormatUint(o.writes, 16))
	o.m[key] = client.Object{Body: body, ETag: etag}
	return etag, true
}

func permits(cond client.Condition, etag string, exists bool) bool {
	if cond.IfMatch != "" && (!exists || cond.IfMatch != "*" && cond.IfMatch != etag) {
		return false
	}
	return cond.IfNoneMatch == "" || !exists || cond.IfNoneMatch != "*" && cond.IfNoneMatch != etag
}

package emulator

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/platform/client"
)

// objects is the object store. An ETag consists of a hash of the body and the number of writes, so that it changes even
// if the same body is written again.
type objects struct {
	mu     sync.Mutex
	writes uint64 // number of writes to all objects
	byKey  map[string]client.Object
}

func newObjects() *objects { return &objects{byKey: map[string]client.Object{}} }

func (o *objects) get(key string) (client.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := o.byKey[key]
	return object, ok
}

// put stores an object if it meets the condition. It returns the new ETag, or the present one and false.
func (o *objects) put(key string, body []byte, cond client.Precondition) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current, exists := o.byKey[key]
	if !isMet(cond, current.ETag, exists) {
		return current.ETag, false
	}
	o.writes++
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16) + "-" + strconv.FormatUint(o.writes, 16))
	o.byKey[key] = client.Object{Body: body, ETag: etag}
	return etag, true
}

// isMet reports whether an object with the given ETag, if it exists, meets a condition.
func isMet(cond client.Precondition, etag string, exists bool) bool {
	if cond.IfMatch != "" && (!exists || cond.IfMatch != "*" && cond.IfMatch != etag) {
		return false
	}
	return cond.IfNoneMatch == "" || !exists || cond.IfNoneMatch != "*" && cond.IfNoneMatch != etag
}

package kv

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
)

// listPageSize is the number of entries in a page of a list.
const listPageSize = 1000

// commitResponse is the response to a transaction.
type commitResponse struct {
	Revision   ids.Revision `msgpack:"epoch"`
	FailedKeys []string     `msgpack:"failed"`
}

// grantBody is the body of a request for a lease.
type grantBody struct {
	TTLMillis int64 `msgpack:"ttlMs"`
}

// grantResponse holds the ID of a new lease.
type grantResponse struct {
	Lease ids.LeaseID `msgpack:"hold"`
}

// watchResponse is the response to a watch. Revision is the one to watch from next.
type watchResponse struct {
	Revision ids.Revision `msgpack:"epoch"`
	Events   []Event      `msgpack:"events"`
}

func getRequest(key string) httpclient.Request {
	return httpclient.Request{Method: http.MethodGet, Path: "/store/" + key, Timeout: requestTimeout}
}

// listRequest requests the page of a list that follows the key after, or the first page if after
// is "".
func listRequest(prefix, after string) httpclient.Request {
	path := fmt.Sprintf("/store?prefix=%s&page=%d", url.QueryEscape(prefix), listPageSize)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	return httpclient.Request{Method: http.MethodGet, Path: path, Timeout: listTimeout}
}

func commitRequest(txn Txn) httpclient.Request {
	return httpclient.Request{Method: http.MethodPost, Path: "/commit", Body: txn, Timeout: requestTimeout}
}

func grantRequest(ttl time.Duration) httpclient.Request {
	return httpclient.Request{Method: http.MethodPost, Path: "/grants", Body: grantBody{TTLMillis: ttl.Milliseconds()}, Timeout: requestTimeout}
}

func renewRequest(id ids.LeaseID) httpclient.Request {
	return httpclient.Request{Method: http.MethodPost, Path: leasePath(id) + "/touch", Timeout: requestTimeout}
}

func revokeRequest(id ids.LeaseID) httpclient.Request {
	return httpclient.Request{Method: http.MethodDelete, Path: leasePath(id), Timeout: requestTimeout}
}

func leasePath(id ids.LeaseID) string { return "/grants/" + strconv.FormatUint(uint64(id), 10) }

func watchRequest(prefix string, since ids.Revision, maxWait time.Duration) httpclient.Request {
	path := fmt.Sprintf("/changes?prefix=%s&since=%d&holdMs=%d", url.QueryEscape(prefix), since, maxWait.Milliseconds())
	return httpclient.Request{Method: http.MethodGet, Path: path, Timeout: maxWait + watchMargin}
}

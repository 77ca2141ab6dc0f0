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

// listPageSize is how many entries a page of a list holds.
const listPageSize = 1000

// listPage is a page of a list.
type listPage struct {
	Entries  []Entry      `msgpack:"entries"`
	More     bool         `msgpack:"hasNext"`
	Revision ids.Revision `msgpack:"epoch"`
}

// commitResponse is the answer to a transaction.
type commitResponse struct {
	Revision   ids.Revision `msgpack:"epoch"`
	FailedKeys []string     `msgpack:"failed"`
}

// grantBody asks for a lease.
type grantBody struct {
	TTLMillis int64 `msgpack:"ttlMs"`
}

// grantResponse names a new lease.
type grantResponse struct {
	Lease ids.LeaseID `msgpack:"hold"`
}

// watchResponse is the answer to a watch.
type watchResponse struct {
	Revision ids.Revision `msgpack:"epoch"`
	Events   []Event      `msgpack:"events"`
}

func getRequest(key string) httpclient.Request {
	return httpclient.Request{Method: http.MethodGet, Path: "/store/" + key, Timeout: requestTimeout}
}

// listRequest asks for the page of a list that follows a key; "" asks for the first.
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

func watchRequest(prefix string, since ids.Revision, hold time.Duration) httpclient.Request {
	path := fmt.Sprintf("/changes?prefix=%s&since=%d&holdMs=%d", url.QueryEscape(prefix), since, hold.Milliseconds())
	return httpclient.Request{Method: http.MethodGet, Path: path, Timeout: hold + watchMargin}
}

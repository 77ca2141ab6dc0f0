package faulttest

import (
	"io"
	"net/http"

	"ospreystile.example/ospreystile/wire"
)

// maxRequestBytes is the largest request body that the stand-ins read.
const maxRequestBytes = 1 << 20

// respond writes a response.
func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(body)) // a caller that is gone needs no response
}

// decodeBody decodes the body of a request. If it cannot, it responds with 400 itself, and ok is
// false.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (body T, ok bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = wire.Decode(raw, &body)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
	}
	return body, err == nil
}

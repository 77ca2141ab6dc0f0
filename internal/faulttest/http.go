package faulttest

import (
	"io"
	"net/http"

	"ospreystile.example/ospreystile/wire"
)

// maxRequestBytes is the size at which the fakes truncate a request body.
const maxRequestBytes = 1 << 20

// respond writes a response with the status and the encoded body.
func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(body)) // fails only if the client has disconnected
}

// decodeBody decodes the body of the request. If decoding fails, it responds with status 400 and
// returns ok false.
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

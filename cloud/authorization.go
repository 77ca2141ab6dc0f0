package cloud

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/internal/httpclient"
)

// authorizedTransport sends requests only while its caller is authorized.
type authorizedTransport struct {
	httpclient.Transport
	authorized func() bool
}

// Do sends a request if the caller is authorized at this moment. Otherwise the error wraps ErrNotSent.
func (t authorizedTransport) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if !t.authorized() {
		return 0, nil, &httpclient.RequestError{Kind: httpclient.ErrNotSent, Method: method, Path: path, Cause: errNotAuthorized}
	}
	return t.Transport.Do(ctx, method, path, body, timeout)
}

package gateway

import "context"

type accountKey struct{}

// WithAccount returns a context that carries the authenticated account.
func WithAccount(ctx context.Context, account string) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// AccountFromContext returns the account that WithAccount stored in ctx.
func AccountFromContext(ctx context.Context) string {
	account, _ := ctx.Value(accountKey{}).(string)
	return account
}

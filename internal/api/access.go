package api

import (
	"context"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// AccessControl restricts who may use the HTTP interface. The zero value admits
// anyone.
type AccessControl struct {
	// Operators may use all paths for changes and queries. If it is empty,
	// anyone may.
	Operators []auth.Operator
	// AnnounceToken is the hash of the bearer token that announcements must
	// carry. If it is nil, anyone may announce.
	AnnounceToken *auth.TokenHash
	// Log receives a line for each rejected request. It may be nil if Operators
	// and AnnounceToken are unset.
	Log logrus.FieldLogger
}

type operatorKey struct{}

// OperatorOf returns the name of the operator who sent the request, or an empty
// string if no operators are configured.
func OperatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// requireOperator returns a handler that passes only requests with the token of
// an operator on to next. It stores the operator's name in the request context.
func (a AccessControl) requireOperator(next http.Handler) http.Handler {
	if len(a.Operators) == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := auth.FindOperator(a.Operators, bearer(r))
		if !ok {
			a.rejectUnauthenticated(w, r)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// requireAnnounceToken returns a handler that passes only requests with the
// announcement token on to next.
func (a AccessControl) requireAnnounceToken(next http.Handler) http.Handler {
	if a.AnnounceToken == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.AnnounceToken.Matches(bearer(r)) {
			a.rejectUnauthenticated(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a AccessControl) rejectUnauthenticated(w http.ResponseWriter, r *http.Request) {
	a.Log.WithFields(logrus.Fields{"from": r.RemoteAddr, "path": r.URL.Path}).Warn("audit: refused, no valid token")
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, errkind.New(errkind.Unauthenticated, "expected a bearer token"))
}

// bearer returns the bearer token of a request, or an empty string if there is
// none or it is too long.
func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || len(token) > auth.MaxTokenBytes {
		return ""
	}
	return token
}

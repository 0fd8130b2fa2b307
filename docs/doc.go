// Package docs holds the pages of the project and the tests that keep them
// true.
package docs

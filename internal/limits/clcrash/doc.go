// Package clcrash finds out what the requests that crash endpoints have in common, so
// that the gateways stop sending such requests.
//
// A request has traits: the whole request, which a caller may repeat, and each part of
// its prompt but the last, which other requests may share. When an endpoint crashes, the
// requests that it had not been answering for long are suspects, and so are their
// traits. Gateways tell each other of the crashes and of the suspects that have turned
// out to be sound. A trait that is present at several crashes, with no sound run since
// the first of them, is blocked: requests with it are refused.
//
// Several traits are present at each crash, most of them by chance. Of those, the trait
// that explains most crashes is blocked, and these crashes no longer count against any
// other. A part that has been sound many times must explain up to three more than another
// one. If two explain the crashes as well, the one with less sound work is blocked, since
// further crashes show it if that was wrong. A block ends early if the evidence turns
// against it: after a sound run since its latest crash, or when another part that was
// present at all of its crashes explains more.
package clcrash

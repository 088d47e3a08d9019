// Package clmirror keeps copies of the objects that lie in the platform's
// store, and knows how recent they are.
//
// Each call to the store is priced and counts towards its rates, so that only
// some gateways read it: one in each data centre, and any that has no reader to
// ask. The others follow a reader's copy, and know from its answers when it was
// last confirmed.
package clmirror

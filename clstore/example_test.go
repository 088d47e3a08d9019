package clstore_test

import (
	"context"
	"fmt"

	"github.com/chestnutlead/chestnutlead/clstore"
)

func ExampleMemory() {
	var m clstore.Memory
	ctx := context.Background()
	version, err := m.Update(ctx, "a", []byte("1"), 0)
	fmt.Println(version, err)
	_, err = m.Update(ctx, "a", []byte("2"), 0)
	fmt.Println(clstore.KindOf(err))
	// Output:
	// 1 <nil>
	// conflict
}

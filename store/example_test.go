package store_test

import (
	"context"
	"fmt"

	"bluebellhold/store"
)

func ExampleMemory_Transact() {
	var memory store.Memory
	insert := store.Transaction{
		Conditions: []store.Condition{{Name: "head"}},
		Writes:     []store.Write{{Name: "head", Value: []byte("1")}},
	}
	first, _ := memory.Transact(context.Background(), insert)
	second, _ := memory.Transact(context.Background(), insert)
	fmt.Println(first.Committed, second.Committed, string(second.Rows[0].Value))
	// Output:
	// true false 1
}

import { invalidCallError } from "@knapweedwood/core.key-value/invalidCallError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";

/** Key-value service that rejects each write with an operation for which `isRejected` holds. */
export class RejectingKeyValueService extends MemoryKeyValueService {
    isRejected: (operation: KeyValueOperation) => boolean = () => false;

    override transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult> {
        return operations.some(operation => this.isRejected(operation))
            ? Promise.reject(invalidCallError("The stand-in rejects this write"))
            : super.transact(compares, operations);
    }
}

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects bytes that arrive in parts, also in many small ones. Copies them into blocks of its own: a part costs some hundred
 * bytes besides its content, and keeps the whole buffer alive into which the connection has read it.
 */
export class ByteCollector {
    sizeBytes = 0;
    /** Memory that the bytes take, in bytes. */
    heldBytes = 0;
    private blocks: Buffer[] = [];
    /** Bytes that are still unused at the end of the last block. */
    private freeBytes = 0;

    append(part: Buffer): void {
        const fitting = part.subarray(0, this.freeBytes);
        this.copyToLastBlock(fitting);
        const rest = part.subarray(fitting.length);
        if (rest.length > 0) {
            this.addBlock(rest.length);
            this.copyToLastBlock(rest);
        }
        this.sizeBytes += part.length;
    }

    /** Returns all bytes in the order of their arrival. */
    toBuffer(): Buffer {
        return Buffer.concat(this.blocks, this.sizeBytes);
    }

    clear(): void {
        this.sizeBytes = 0;
        this.heldBytes = 0;
        this.blocks = [];
        this.freeBytes = 0;
    }

    /** Adds a block for `neededBytes`. Blocks double what is held until they have their largest size. */
    private addBlock(neededBytes: number): void {
        const sizeBytes = Math.max(neededBytes, MIN_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, this.heldBytes));
        this.blocks.push(Buffer.allocUnsafeSlow(sizeBytes));
        this.heldBytes += sizeBytes;
        this.freeBytes = sizeBytes;
    }

    private copyToLastBlock(bytes: Buffer): void {
        const block = this.blocks.at(-1);
        if (block !== undefined) {
            bytes.copy(block, block.length - this.freeBytes);
            this.freeBytes -= bytes.length;
        }
    }
}

/** Number of parts that are joined into one. Each part costs some hundred bytes besides its content. */
const PARTS_PER_BLOCK = 1024;

/** Collects bytes that arrive in parts, also in many small ones. */
export class ByteCollector {
    sizeBytes = 0;
    private blocks: Buffer[] = [];
    private parts: Buffer[] = [];

    append(part: Buffer): void {
        this.sizeBytes += part.length;
        this.parts.push(part);
        if (this.parts.length === PARTS_PER_BLOCK) {
            this.blocks.push(Buffer.concat(this.parts));
            this.parts = [];
        }
    }

    /** Returns all bytes in the order of their arrival. */
    toBuffer(): Buffer {
        return Buffer.concat([...this.blocks, ...this.parts]);
    }

    clear(): void {
        this.sizeBytes = 0;
        this.blocks = [];
        this.parts = [];
    }
}

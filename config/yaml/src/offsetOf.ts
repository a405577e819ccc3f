import { type Document, isMap, isNode, isPair, isScalar, type Node } from "yaml";

/**
 * Returns the character offset of the node at `path` in `document`. For a map entry this is the offset of its key.
 * If there is no such node, returns the offset of the nearest ancestor that exists, or 0.
 */
export function offsetOf(document: Document, path: readonly PropertyKey[]): number {
    for (let length = path.length; length > 0; length -= 1) {
        const offset = keyOffset(document, path.slice(0, length)) ?? nodeOffset(document, path.slice(0, length));
        if (offset !== undefined) {
            return offset;
        }
    }
    return 0;
}

function keyOffset(document: Document, path: readonly PropertyKey[]): number | undefined {
    const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
    const name = path.at(-1);
    if (!isMap(parent)) {
        return undefined;
    }
    const pair = parent.items.find(item => isPair(item) && isScalar(item.key) && item.key.value === name);
    return isNode(pair?.key) ? (pair.key as Node).range?.[0] : undefined;
}

function nodeOffset(document: Document, path: readonly PropertyKey[]): number | undefined {
    const node = document.getIn(path, true);
    return isNode(node) ? node.range?.[0] : undefined;
}

const ENTITIES: { [character: string]: string; } = { "&": "&amp;", "<": "&lt;", ">": "&gt;", '"': "&quot;" };

/** Text as it may stand in HTML. */
export function escapeHtml(text: string): string {
    return text.replace(/[&<>"]/gu, character => ENTITIES[character] ?? character);
}

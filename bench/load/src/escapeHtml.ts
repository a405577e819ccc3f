const ENTITIES: { [character: string]: string; } = { "&": "&amp;", "<": "&lt;", ">": "&gt;", '"': "&quot;" };

/** Escapes text for HTML content and quoted attribute values. */
export function escapeHtml(text: string): string {
    return text.replace(/[&<>"]/gu, character => ENTITIES[character] ?? character);
}

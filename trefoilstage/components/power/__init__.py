"""Keep each site's draw of watts under its ceiling."""

"""Who may hold a connection, who may have a request worked on, and who leaves when there is too little."""
